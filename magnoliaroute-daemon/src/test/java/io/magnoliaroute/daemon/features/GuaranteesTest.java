package io.magnoliaroute.daemon.features;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs the Cucumber scenarios of the guarantees. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features")
@ConfigurationParameter(key = "cucumber.glue", value = "io.magnoliaroute.daemon.features")
@ConfigurationParameter(key = "cucumber.plugin", value = "summary")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
final class GuaranteesTest {}
