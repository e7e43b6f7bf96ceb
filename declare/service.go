package declare

import (
	"skylarkstand/core"
	"skylarkstand/core/declaration"
)

// Service is a declared plain service.
type Service struct{ sv declaration.Service }

// Service declares a plain service.
func (cf *Configuration) Service(id core.ServiceID) *Service {
	sv := &Service{declaration.Service{ID: id}}
	cf.services = append(cf.services, sv)
	return sv
}

// AtMostOnce declares an operation that may not run twice, such as an order.
// There is no operation of neither kind: forgetting the mark would let a retry
// run an order twice.
func (sv *Service) AtMostOnce(id core.OperationID, price core.Millicents) *Service {
	sv.sv.Operations = append(sv.sv.Operations, declaration.Operation{ID: id, AtMostOnce: true, Price: price})
	return sv
}

// Repeatable declares an operation that may safely run again, such as a look-up.
func (sv *Service) Repeatable(id core.OperationID, price core.Millicents) *Service {
	sv.sv.Operations = append(sv.sv.Operations, declaration.Operation{ID: id, Price: price})
	return sv
}
