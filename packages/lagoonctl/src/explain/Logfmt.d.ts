/**
 * The part of the library `logfmt` that is used; it brings no types.
 */
declare module 'logfmt' {
  const logfmt: { parse: (line: string) => Record<string, string | boolean | null> }
  export default logfmt
}
