import neostandard from 'neostandard'

export default [
  ...neostandard({
    ts: true,
    ignores: ['**/dist/**', '**/generated/**', 'node_modules/**', 'data/**', 'bench/out/**', 'target/**', 'journal/**']
  }),
  {
    files: ['packages/**/*.ts'],
    rules: {
      'no-restricted-syntax': ['error', {
        selector: 'Literal[value=/^x-(attempt|request-deadline|target-instance|not-executed|caller-service|server-seal)|^[/]-[/]|virtual-hosts|path-prefix/i]',
        message: 'Names of the platform stand in platform/ only.'
      }, {
        selector: 'ImportDeclaration[source.value=/platform/]:not([source.value=/platform-fastify/])',
        message: 'The product does not depend on the platform adapter.'
      }]
    }
  },
  {
    rules: {
      '@typescript-eslint/no-redeclare': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      '@stylistic/max-len': ['error', { code: 140, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true }]
    }
  }
]
