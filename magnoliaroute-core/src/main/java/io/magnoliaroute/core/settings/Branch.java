package io.magnoliaroute.core.settings;

/** The content of one branch. */
public sealed interface Branch permits TeamSettings, PoolSettings, Limits {}
