package org.vanillaslip.internal.logging;

import ch.qos.logback.classic.PatternLayout;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;

/** Pattern encoder that supports the conversion word {@code %fields}. */
final class FieldPatternEncoder extends PatternLayoutEncoder {

    @Override
    public void start() {
        PatternLayout patternLayout = new PatternLayout();
        patternLayout.getInstanceConverterMap().put("fields", FieldConverter::new);
        patternLayout.setContext(context);
        patternLayout.setPattern(getPattern());
        patternLayout.start();
        layout = patternLayout;
        started = true;
    }
}
