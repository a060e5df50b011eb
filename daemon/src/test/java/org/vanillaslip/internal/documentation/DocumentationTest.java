package org.vanillaslip.internal.documentation;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.vanillaslip.internal.logging.LogEvent;
import org.vanillaslip.internal.logging.LogEventsTable;

/** Guards against tables that differ from the code; {@code bin/generate-tables} updates them. */
class DocumentationTest {
    private static final Path DOCUMENTS = Path.of("..", "docs");

    @ParameterizedTest
    @EnumSource
    void tablesMatchTheCode(DocumentationTable table) throws IOException {
        String text = Files.readString(table.file(DOCUMENTS));

        assertThat(text).isEqualTo(table.update(text));
    }

    @Test
    void logEventNumbersAreUniqueAndInRange() {
        assertThat(LogEventsTable.events())
                .isNotEmpty()
                .extracting(LogEvent::number)
                .doesNotHaveDuplicates()
                .allMatch(number -> number >= 100 && number < 640);
    }
}
