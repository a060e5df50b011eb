package org.vanillaslip.internal.settings;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.Reader;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;

/** Reads a settings file and reports all faults at once. */
public final class SettingsReader {

    /** Returns the settings in the file, or all of its faults. */
    public Either<List<SettingsFault>, Settings> read(Path file) {
        try (Reader reader = Files.newBufferedReader(file)) {
            return read(reader);
        } catch (IOException exception) {
            return Either.left(
                    List.of(new SettingsFault("", "file", file.toString(), "a readable file")));
        }
    }

    /** Returns the settings in the text, or all of its faults. */
    public Either<List<SettingsFault>, Settings> parse(String text) {
        try (Reader reader = new StringReader(text)) {
            return read(reader);
        } catch (IOException exception) {
            throw new IllegalStateException("Reading from a string failed.", exception);
        }
    }

    private static Either<List<SettingsFault>, Settings> read(Reader reader) throws IOException {
        INIConfiguration configuration = new INIConfiguration();
        try {
            configuration.read(reader);
        } catch (ConfigurationException exception) {
            return Either.left(
                    List.of(
                            new SettingsFault(
                                    "",
                                    "file",
                                    String.valueOf(exception.getMessage()),
                                    "an INI file")));
        }
        return new SettingsValidator(entries(configuration)).validate();
    }

    /** Traverses the nodes, because lookups by key would interpret dots and placeholders. */
    private static List<SettingsEntry> entries(INIConfiguration configuration) {
        List<SettingsEntry> entries = new ArrayList<>();
        ImmutableNode root = configuration.getNodeModel().getNodeHandler().getRootNode();
        for (ImmutableNode child : root.getChildren()) {
            if (child.getValue() != null) {
                entries.add(entry("", child));
            } else if (child.getChildren().isEmpty()) {
                entries.add(new SettingsEntry(child.getNodeName(), "", ""));
            }
            for (ImmutableNode property : child.getChildren()) {
                entries.add(entry(child.getNodeName(), property));
            }
        }
        return entries;
    }

    private static SettingsEntry entry(String section, ImmutableNode property) {
        Object value = property.getValue();
        return new SettingsEntry(
                section, property.getNodeName(), value == null ? "" : value.toString().strip());
    }
}
