package org.vanillaslip.internal.duty;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.usage.SettledWindow;
import org.vanillaslip.internal.usage.UsageLedger;
import reactor.core.publisher.Mono;

/** The usage reports in the platform's store. */
public final class UsageRecord {

    /** Field with the reports of single windows. */
    public static final String WINDOWS = "windows";

    private static final String NAME = "fleet";
    private static final String RESTORES = "restores";
    private static final String CLOSED_THROUGH = "closed_through";
    private static final String WINDOW = "window";
    private static final String COUNTS = "counts";
    private static final String HOLDER = "holder";
    private static final String TERM = "term";
    private static final String COUNTED = "hosts_counted";
    private static final String MISSING = "hosts_missing";
    private static final String ACCEPTED = "accepted";

    private final ObjectStore mStore;

    /** Creates a record in the store. */
    public UsageRecord(ObjectStore store) {
        mStore = store;
    }

    /** Reads the ledger as it is stored, for operators. */
    public Mono<Either<PlatformFailure, ObjectNode>> readStored() {
        return mStore.readRecent(PlatformCollections.USAGE_REPORTS, NAME)
                .map(found -> found.map(StoredObject::spec));
    }

    /** Reads the ledger. */
    Mono<Either<PlatformFailure, StoredLedger>> read() {
        return mStore.read(PlatformCollections.USAGE_REPORTS, NAME)
                .map(
                        found ->
                                found.map(
                                        object ->
                                                new StoredLedger(
                                                        decode(object.spec()), object.version())));
    }

    /** Creates the ledger if there is none. */
    Mono<Either<PlatformFailure, StoredLedger>> create(UsageLedger ledger) {
        return stored(
                ledger, mStore.create(PlatformCollections.USAGE_REPORTS, NAME, encode(ledger)));
    }

    /** Replaces the ledger of the version. */
    Mono<Either<PlatformFailure, StoredLedger>> update(UsageLedger ledger, long version) {
        return stored(
                ledger,
                mStore.update(PlatformCollections.USAGE_REPORTS, NAME, version, encode(ledger)));
    }

    private static Mono<Either<PlatformFailure, StoredLedger>> stored(
            UsageLedger ledger, Mono<Either<PlatformFailure, StoredObject>> written) {
        return written.map(
                result -> result.map(object -> new StoredLedger(ledger, object.version())));
    }

    static ObjectNode encode(UsageLedger ledger) {
        ObjectNode spec =
                JsonNodeFactory.instance
                        .objectNode()
                        .put(RESTORES, ledger.restores())
                        .put(CLOSED_THROUGH, ledger.closedThrough());
        ArrayNode windows = spec.putArray(WINDOWS);
        ledger.windows().forEach(window -> windows.add(encode(window)));
        return spec;
    }

    private static ObjectNode encode(SettledWindow window) {
        ObjectNode node =
                JsonNodeFactory.instance
                        .objectNode()
                        .put(WINDOW, window.window())
                        .put(HOLDER, window.holder())
                        .put(TERM, window.term())
                        .put(ACCEPTED, window.accepted());
        ObjectNode counts = node.putObject(COUNTS);
        window.callsByWorkspace().forEach(counts::put);
        ArrayNode counted = node.putArray(COUNTED);
        window.counted().forEach(counted::add);
        ArrayNode missing = node.putArray(MISSING);
        window.missing().forEach(missing::add);
        return node;
    }

    static UsageLedger decode(ObjectNode spec) {
        List<SettledWindow> windows = new ArrayList<>();
        spec.path(WINDOWS).forEach(node -> windows.add(decodeWindow(node)));
        return new UsageLedger(
                spec.path(RESTORES).asLong(), spec.path(CLOSED_THROUGH).asLong(), windows);
    }

    private static SettledWindow decodeWindow(JsonNode node) {
        TreeMap<String, Long> counts = new TreeMap<>();
        node.path(COUNTS)
                .fields()
                .forEachRemaining(entry -> counts.put(entry.getKey(), entry.getValue().asLong()));
        return new SettledWindow(
                node.path(WINDOW).asLong(),
                counts,
                node.path(HOLDER).asText(),
                node.path(TERM).asLong(),
                names(node.path(COUNTED)),
                names(node.path(MISSING)),
                node.path(ACCEPTED).asBoolean());
    }

    private static SortedSet<String> names(JsonNode array) {
        TreeSet<String> names = new TreeSet<>();
        array.forEach(name -> names.add(name.asText()));
        return names;
    }
}
