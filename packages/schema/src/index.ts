/**
 * Schemas of the messages, the settings and the catalogue, with their readers and checks.
 */
export * from './BoundedList.js'
export * from './announcements/AnnouncementSchema.js'
export * from './catalogue/CatalogueChecks.js'
export * from './catalogue/DeclarationReader.js'
export * from './catalogue/Declarations.js'
export * from './catalogue/EntrySchema.js'
export * from './catalogue/HostName.js'
export * from './catalogue/AccountSchema.js'
export * from './catalogue/KeyDigests.js'
export * from './generated/SettingsSchema.js'
export * from './generated/index.js'
export * from './settings/SectionReader.js'
export * from './settings/SettingTypes.js'
export * from './settings/SettingsReader.js'
