package core

// Tokens counts model tokens, of the prompt or generated.
type Tokens int64

// Millicents is an amount of money: a thousandth of a cent.
type Millicents int64

// Quality is the fraction of answers that are good enough, from 0 to 1, as rated by the rating
// service.
type Quality float64
