package org.vanillaslip.internal.proofs.scenarios;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;
import static io.cucumber.junit.platform.engine.Constants.PLUGIN_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the feature files one after the other, each on a deployment of its own. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("org.vanillaslip.internal.proofs.scenarios")
@ConfigurationParameter(
        key = GLUE_PROPERTY_NAME,
        value = "org.vanillaslip.internal.proofs.scenarios")
@ConfigurationParameter(key = PLUGIN_PROPERTY_NAME, value = "summary")
class ScenariosTest {}
