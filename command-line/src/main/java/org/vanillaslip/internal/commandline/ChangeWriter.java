package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.ItemName;
import org.vanillaslip.internal.configuration.ConfigurationValidator;

/** Validates the requested items together with the stored ones and writes those that differ. */
final class ChangeWriter {
    private final ConfigurationClient mClient;
    private final ChangeCalculator mCalculator = new ChangeCalculator(new ConfigurationValidator());

    ChangeWriter(ConfigurationClient client) {
        mClient = client;
    }

    /** Stops at the first failure, whose details list the changes written before it. */
    Either<CommandFailure, CommandResult> write(
            StoredConfiguration stored, Map<ItemName, Optional<ConfigurationItem>> requested) {
        return mCalculator
                .calculate(stored, requested)
                .mapLeft(CommandFailures::invalid)
                .flatMap(changes -> writeAll(changes, requested.size() - changes.size()));
    }

    private Either<CommandFailure, CommandResult> writeAll(
            List<ConfigurationChange> changes, int unchanged) {
        List<String> lines = new ArrayList<>();
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode written = json.putArray("changes");
        for (ConfigurationChange change : changes) {
            Either<CommandFailure, Long> version = mClient.write(change);
            if (version.isLeft()) {
                return Either.left(CommandFailures.withEarlierWrites(version.getLeft(), lines));
            }
            String name = change.name().objectName();
            lines.add(name + " " + change.verb() + ", version " + version.get());
            written.addObject()
                    .put("item", name)
                    .put("change", change.verb())
                    .put("version", version.get());
        }
        lines.add(changes.size() + " written, " + unchanged + " unchanged");
        json.put("unchanged", unchanged);
        return Either.right(new CommandResult(List.copyOf(lines), json));
    }
}
