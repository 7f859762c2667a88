/**
 * Preloaded into a process: throws an exception out of an event, with no handler above it, when the process receives SIGUSR2.
 */
process.on('SIGUSR2', () => setImmediate(() => { throw new Error('exception in an event') }))
