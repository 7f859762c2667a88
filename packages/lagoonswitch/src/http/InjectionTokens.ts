/**
 * Injection tokens of the HTTP controllers.
 */

/** The node role. */
export const NODE_ROLE = Symbol('node-role')
/** The control role. */
export const CONTROL_ROLE = Symbol('control-role')
/** The metrics of the process. */
export const METRICS = Symbol('metrics')
/** The tokens of the operators. */
export const OPERATOR_TOKENS = Symbol('operator-keys')
