// Package agent implements an entry's side of the links to agents: it keeps a link to each agent of
// the entry's subset, dispatches attempts over it and reads their answers.
//
// # Usage
//
//	pool := agent.New(deps, inForce, hosts)
//	go pool.Serve(ctx)
//	ans, err := pool.Dispatch(ctx, id, attempt)
package agent
