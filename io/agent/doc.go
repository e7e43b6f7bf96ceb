// Package agent is an entry's side of the links to the agents: it keeps a
// link to each listed agent, hands attempts over and reads their answers.
//
// # Usage
//
//	pool := agent.New(deps, inForce, hosts)
//	go pool.Serve(ctx)
//	ans, err := pool.Dispatch(ctx, id, attempt)
package agent
