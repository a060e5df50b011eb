package org.vanillaslip.internal.commandline;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.ItemName;
import org.vanillaslip.internal.configuration.Fault;
import org.vanillaslip.internal.platform.ConfigurationCodec;

/** Reads a list file and converts its entries to configuration items. */
final class InputFile {
    private InputFile() {}

    static Either<CommandFailure, ListFile> read(String file) {
        return text(file).flatMap(InputFile::parse);
    }

    static Either<CommandFailure, ListFile> parse(String text) {
        return ListFileReader.read(text).mapLeft(CommandFailures::invalid);
    }

    static Either<CommandFailure, String> text(String file) {
        try {
            return Either.right(Files.readString(Path.of(file)));
        } catch (IOException | InvalidPathException exception) {
            return Either.left(CommandFailures.unreadableFile(file));
        }
    }

    /** Returns all items of the file, or a failure that names the faults of all entries. */
    static Either<CommandFailure, Map<ItemName, Optional<ConfigurationItem>>> items(
            ListFile file, StoredConfiguration stored) {
        return convert(file, stored).mapLeft(CommandFailures::invalid);
    }

    /** Returns all items of the file, or the faults of all entries. */
    static Either<List<Fault>, Map<ItemName, Optional<ConfigurationItem>>> convert(
            ListFile file, StoredConfiguration stored) {
        ListFileEntryConverter converter = new ListFileEntryConverter(new ConfigurationCodec());
        Map<ItemName, Optional<ConfigurationItem>> items = new LinkedHashMap<>();
        List<Fault> faults = new ArrayList<>();
        for (ListFileEntry entry : file.entries()) {
            converter
                    .toItem(entry, stored.item(entry.name()))
                    .peek(item -> items.put(entry.name(), Optional.of(item)))
                    .peekLeft(faults::addAll);
        }
        return faults.isEmpty() ? Either.right(items) : Either.left(List.copyOf(faults));
    }
}
