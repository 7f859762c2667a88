/**
 * Distribution of the catalogue and of the endpoint view.
 */
export * from './CatalogueStore.js'
export * from './ControlDirectory.js'
export * from './EndpointView.js'
export * from './FeedClient.js'
export * from './FeedHub.js'
