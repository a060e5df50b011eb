package org.vanillaslip.internal.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against example settings that the daemon rejects. */
class ExampleSettingsTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    @Test
    void acceptsAllExampleSettings() throws IOException {
        List<Path> files;
        try (Stream<Path> walk = Files.walk(EXAMPLES)) {
            files = walk.filter(file -> file.toString().endsWith(".ini")).toList();
        }

        assertThat(files).hasSize(8);
        assertThat(files)
                .allSatisfy(file -> assertThat(new SettingsReader().read(file)).isNotEmpty());
    }
}
