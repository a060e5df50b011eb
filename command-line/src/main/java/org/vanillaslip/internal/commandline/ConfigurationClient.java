package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.vanillaslip.ItemName;
import org.vanillaslip.VersionedItem;
import org.vanillaslip.internal.configuration.Fault;
import org.vanillaslip.internal.configuration.UnreadableItem;
import org.vanillaslip.internal.platform.ConfigurationCodec;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import reactor.core.publisher.Mono;

/** Reads and writes configuration items on the platform, one call at a time. */
final class ConfigurationClient {
    /** A write names the version it replaces, so a retry after a lost answer cannot apply twice. */
    private static final int MAX_WRITE_ATTEMPTS = 3;

    private final ObjectStore mStore;
    private final ConfigurationCodec mCodec;

    ConfigurationClient(ObjectStore store, ConfigurationCodec codec) {
        mStore = store;
        mCodec = codec;
    }

    Either<CommandFailure, StoredConfiguration> load() {
        return list(PlatformCollections.CONFIGURATION).map(this::decode);
    }

    Either<CommandFailure, ObjectList> list(String collection) {
        return await(mStore.list(collection)).mapLeft(CommandFailures::unavailable);
    }

    /** Writes the change and returns the new version. */
    Either<CommandFailure, Long> write(ConfigurationChange change) {
        ObjectNode spec = mCodec.encode(change.name(), change.item());
        Either<PlatformFailure, StoredObject> result = Either.left(PlatformFailure.UNAVAILABLE);
        boolean answerLost = false;
        for (int attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
            result = writeOnce(change, spec);
            if (result.isRight() || result.getLeft() != PlatformFailure.OUTCOME_UNKNOWN) {
                break;
            }
            answerLost = true;
            Either<PlatformFailure, StoredObject> current = read(change.name());
            if (isApplied(change, spec, current)) {
                return current.map(StoredObject::version).mapLeft(CommandFailures::unavailable);
            }
        }
        if (result.isRight()) {
            return Either.right(result.get().version());
        }
        return resolveFailure(change, spec, result.getLeft(), answerLost);
    }

    private Either<CommandFailure, Long> resolveFailure(
            ConfigurationChange change,
            ObjectNode spec,
            PlatformFailure failure,
            boolean answerLost) {
        Either<PlatformFailure, StoredObject> current = read(change.name());
        if (answerLost && isApplied(change, spec, current)) {
            return Either.right(current.get().version());
        }
        return switch (failure) {
            case CONFLICT, NOT_FOUND, GONE ->
                    Either.left(
                            CommandFailures.conflict(
                                    change.name(), change.readVersion(), describeVersion(current)));
            default ->
                    Either.left(
                            answerLost
                                    ? CommandFailures.outcomeUnknown(
                                            change.name(), change.readVersion())
                                    : CommandFailures.unavailable(failure));
        };
    }

    private Either<PlatformFailure, StoredObject> writeOnce(
            ConfigurationChange change, ObjectNode spec) {
        String name = change.name().objectName();
        String collection = PlatformCollections.CONFIGURATION;
        return await(
                change.readVersion() == 0
                        ? mStore.create(collection, name, spec)
                        : mStore.update(collection, name, change.readVersion(), spec));
    }

    private Either<PlatformFailure, StoredObject> read(ItemName name) {
        return await(mStore.read(PlatformCollections.CONFIGURATION, name.objectName()));
    }

    private static boolean isApplied(
            ConfigurationChange change,
            ObjectNode spec,
            Either<PlatformFailure, StoredObject> current) {
        return current.isRight()
                && current.get().version() > change.readVersion()
                && current.get().spec().equals(spec);
    }

    private static String describeVersion(Either<PlatformFailure, StoredObject> current) {
        return current.fold(
                failure -> "(" + failure + ")", object -> Long.toString(object.version()));
    }

    private StoredConfiguration decode(ObjectList list) {
        Map<ItemName, VersionedItem> items = new HashMap<>();
        Map<String, UnreadableItem> unreadable = new HashMap<>();
        for (StoredObject object : list.objects()) {
            Either<List<Fault>, VersionedItem> decoded = mCodec.decode(object);
            decoded.peek(item -> items.put(item.name(), item))
                    .peekLeft(
                            faults ->
                                    unreadable.put(
                                            object.name(),
                                            new UnreadableItem(
                                                    object.name(), object.version(), faults)));
        }
        return new StoredConfiguration(Map.copyOf(items), Map.copyOf(unreadable));
    }

    private static <T> Either<PlatformFailure, T> await(Mono<Either<PlatformFailure, T>> call) {
        return Objects.requireNonNull(
                call.block(), "The platform call completed without a result.");
    }
}
