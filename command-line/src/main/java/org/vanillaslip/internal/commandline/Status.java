package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.ItemKind;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.platform.StoredObject;

/** {@code vanillaslip status}. */
@Command(
        name = "status",
        description = "Shows hosts, control shards and configuration, or the status of one host")
public final class Status extends OperatorCommand {
    @Option(
            name = {"--host"},
            title = "ADDRESS",
            description = "ip:port of the gateway of a host")
    @Nullable String mHost;

    @Override
    Either<CommandFailure, CommandResult> run(CommandContext context) {
        return mHost == null
                ? connect(context).flatMap(Status::platformStatus)
                : hostStatus(context.statusReader(), mHost);
    }

    private static Either<CommandFailure, CommandResult> hostStatus(
            StatusReader reader, String address) {
        Optional<JsonNode> status = reader.read(address);
        return status.isEmpty()
                ? Either.left(CommandFailures.hostUnavailable(address))
                : Either.right(
                        new CommandResult(List.of(status.get().toPrettyString()), status.get()));
    }

    private static Either<CommandFailure, CommandResult> platformStatus(
            ConfigurationClient client) {
        return client.load().flatMap(stored -> platformStatus(client, stored));
    }

    private static Either<CommandFailure, CommandResult> platformStatus(
            ConfigurationClient client, StoredConfiguration stored) {
        return client.list(PlatformCollections.HOSTS)
                .flatMap(
                        hosts ->
                                client.list(PlatformCollections.CONTROL_SHARDS)
                                        .map(shards -> toResult(stored, hosts, shards)));
    }

    private static CommandResult toResult(
            StoredConfiguration stored, ObjectList hosts, ObjectList shards) {
        List<String> lines = new ArrayList<>();
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        addConfiguration(stored, lines, json.putObject("configuration"));
        addObjects("host", hosts, lines, json.putObject("hosts"));
        addObjects("control shard", shards, lines, json.putObject("control_shards"));
        return new CommandResult(List.copyOf(lines), json);
    }

    private static void addConfiguration(
            StoredConfiguration stored, List<String> lines, ObjectNode json) {
        for (ItemKind kind : ItemKind.values()) {
            int count = stored.itemsOfKind(kind).size();
            lines.add(ListFileSections.nameOf(kind) + ": " + count);
            json.put(ListFileSections.nameOf(kind), count);
        }
        ArrayNode drained = json.putArray("drained");
        stored.drainedNames().forEach(drained::add);
        stored.drainedNames().forEach(name -> lines.add("drained: " + name));
        stored.unreadable().values().forEach(item -> lines.add("unreadable: " + item.objectName()));
        json.put("unreadable", stored.unreadable().size());
    }

    private static void addObjects(
            String label, ObjectList objects, List<String> lines, ObjectNode json) {
        for (StoredObject object : objects.objects()) {
            ObjectNode summary = summary(object.spec());
            lines.add(label + " " + object.name() + ": " + summary);
            json.set(object.name(), summary);
        }
    }

    /** Omits nested values because they can be large, such as the placement record of a shard. */
    private static ObjectNode summary(ObjectNode spec) {
        ObjectNode summary = JsonNodeFactory.instance.objectNode();
        spec.properties().stream()
                .filter(field -> field.getValue().isValueNode())
                .forEach(field -> summary.set(field.getKey(), field.getValue()));
        return FieldNames.toSnakeCase(summary);
    }
}
