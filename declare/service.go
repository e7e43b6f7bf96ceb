package declare

import (
	"skylarkstand/core"
	"skylarkstand/core/declaration"
)

// Service is a handle to a declared plain service.
type Service struct{ sv declaration.Service }

// Service declares a plain service without operations; at least one must follow. The
// ID is part of the URL of its calls.
func (cf *Configuration) Service(id core.ServiceID) *Service {
	sv := &Service{declaration.Service{ID: id}}
	cf.services = append(cf.services, sv)
	return sv
}

// AtMostOnce declares an operation that must not run twice, such as an order, with the
// price of one call. Its callers send an idempotency key. Every operation is declared
// either by AtMostOnce or by Repeatable: if at-most-once were an option that could be
// forgotten, a retry could run an order twice. AtMostOnce returns the service.
func (sv *Service) AtMostOnce(id core.OperationID, price core.Millicents) *Service {
	sv.sv.Operations = append(sv.sv.Operations, declaration.Operation{ID: id, AtMostOnce: true, Price: price})
	return sv
}

// Repeatable declares an operation that can safely be retried, such as a look-up, with
// the price of one call. It returns the service.
func (sv *Service) Repeatable(id core.OperationID, price core.Millicents) *Service {
	sv.sv.Operations = append(sv.sv.Operations, declaration.Operation{ID: id, Price: price})
	return sv
}
