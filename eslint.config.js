import neostandard from 'neostandard'

export default [
  ...neostandard({
    ts: true,
    ignores: ['**/dist/**', '**/generated/**', 'node_modules/**', 'data/**', 'bench/out/**', 'target/**', 'journal/**']
  }),
  {
    rules: {
      '@typescript-eslint/no-redeclare': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      '@stylistic/max-len': ['error', { code: 140, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true }]
    }
  }
]
