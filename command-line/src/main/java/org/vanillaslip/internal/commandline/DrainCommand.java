package org.vanillaslip.internal.commandline;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.BackendServer;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.FailureDomainEntry;
import org.vanillaslip.HostEntry;
import org.vanillaslip.ItemKind;
import org.vanillaslip.ItemName;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.PlatformCollections;

/** Takes a failure domain, host or backend server out of service, or returns it to service. */
abstract class DrainCommand extends OperatorCommand {
    private static final Map<String, ItemKind> KINDS =
            Map.of(
                    "domain", ItemKind.FAILURE_DOMAIN,
                    "host", ItemKind.HOST,
                    "server", ItemKind.BACKEND_SERVER);

    @Arguments(
            title = {"KIND", "NAME"},
            description = "domain, host or server, and its name")
    @Required
    List<String> mArguments = new ArrayList<>();

    abstract boolean drained();

    @Override
    Either<CommandFailure, CommandResult> run(CommandContext context) {
        ItemKind kind = mArguments.size() == 2 ? KINDS.get(mArguments.get(0)) : null;
        if (kind == null) {
            return Either.left(
                    CommandFailures.usage("Specify domain, host or server, and a name."));
        }
        ItemName name = new ItemName(kind, mArguments.get(1));
        return connect(context).flatMap(client -> write(client, name));
    }

    private Either<CommandFailure, CommandResult> write(ConfigurationClient client, ItemName name) {
        return client.load()
                .flatMap(
                        stored ->
                                updatedItem(client, stored, name)
                                        .flatMap(item -> write(client, stored, item)));
    }

    private static Either<CommandFailure, CommandResult> write(
            ConfigurationClient client, StoredConfiguration stored, ConfigurationItem item) {
        return new ChangeWriter(client).write(stored, Map.of(ItemName.of(item), Optional.of(item)));
    }

    private Either<CommandFailure, ConfigurationItem> updatedItem(
            ConfigurationClient client, StoredConfiguration stored, ItemName name) {
        Optional<ConfigurationItem> item = stored.item(name);
        if (item.isPresent()) {
            return Either.right(withDrained(item.get()));
        }
        return name.kind() == ItemKind.HOST
                ? createHostEntry(client, name)
                : Either.left(CommandFailures.unknown(name.objectName()));
    }

    /** Creates the missing configuration item of a host that the platform lists. */
    private Either<CommandFailure, ConfigurationItem> createHostEntry(
            ConfigurationClient client, ItemName name) {
        return client.list(PlatformCollections.HOSTS)
                .filterOrElse(
                        hosts -> isListed(hosts, name.name()),
                        hosts -> CommandFailures.unknown(name.objectName()))
                .map(hosts -> new HostEntry(name.name(), drained()));
    }

    private static boolean isListed(ObjectList hosts, String name) {
        return hosts.objects().stream().anyMatch(host -> host.name().equals(name));
    }

    private ConfigurationItem withDrained(ConfigurationItem item) {
        if (item instanceof BackendServer server) {
            return new BackendServer(
                    server.name(),
                    server.failureDomain(),
                    server.address(),
                    server.kind(),
                    server.pool(),
                    server.controlShard(),
                    server.memoryBytes(),
                    server.accelerators(),
                    server.checksFencing(),
                    drained(),
                    server.slowStart());
        }
        return item instanceof FailureDomainEntry
                ? new FailureDomainEntry(item.name(), drained())
                : new HostEntry(item.name(), drained());
    }
}
