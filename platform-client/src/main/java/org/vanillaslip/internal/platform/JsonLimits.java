package org.vanillaslip.internal.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Creates the parsers of JSON from other processes, one for each kind of input. */
public final class JsonLimits {

    /** The platform limits values to 1 MB; JSON escapes make a text up to six times as long. */
    private static final int MAX_STORED_TEXT = 6 << 20;

    private static final int MAX_REPORTED_TEXT = 64 << 10;

    /** Configurations and registrations nest objects less than ten deep. */
    private static final int MAX_NESTING = 100;

    /** The longest number that a field can hold has 25 characters. */
    private static final int MAX_NUMBER_LENGTH = 400;

    private static final int MAX_NAME_LENGTH = 4096;

    private JsonLimits() {}

    /** Returns a parser of the values that a store keeps; the writers may be others. */
    public static ObjectMapper storedValues() {
        return mapper(MAX_STORED_TEXT);
    }

    /** Returns a parser of the reports that backend servers send. */
    public static ObjectMapper serverReports() {
        return mapper(MAX_REPORTED_TEXT);
    }

    private static ObjectMapper mapper(int maxTextLength) {
        StreamReadConstraints limits =
                StreamReadConstraints.builder()
                        .maxNestingDepth(MAX_NESTING)
                        .maxNumberLength(MAX_NUMBER_LENGTH)
                        .maxStringLength(maxTextLength)
                        .maxNameLength(MAX_NAME_LENGTH)
                        .build();
        return new ObjectMapper(JsonFactory.builder().streamReadConstraints(limits).build())
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    }
}
