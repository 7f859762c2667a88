/**
 * Types for the used part of the library `logfmt`, which ships none.
 */
declare module 'logfmt' {
  const logfmt: { parse: (line: string) => Record<string, string | boolean | null> }
  export default logfmt
}
