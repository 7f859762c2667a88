/**
 * The lagoonswitch process as a library for platform adapters and tests.
 */
export * from './BodyIntake.js'
export * from './LagoonProcess.js'
export * from './ProcessSurface.js'
export * from './Runner.js'
export * from './PinoLog.js'
