package io.magnoliaroute.core.settings;

/** The parsed content of one branch of the settings tree. */
public sealed interface Branch permits TeamSettings, PoolSettings, Limits {}
