package org.vanillaslip.internal.quarantine;

import static org.vanillaslip.internal.logging.LogField.field;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Mono;

/**
 * The quarantined prompt parts in the platform's store, for hosts that start while no other host
 * runs. The end of a quarantine is stored as a time of day: a clock that is wrong makes it shorter
 * or longer, but never longer than a new one.
 */
public final class QuarantineRecord {

    private static final String OBJECT_NAME = "fleet";
    private static final String PARTS = "parts";
    private static final String PART = "part";
    private static final String ENDS_AT = "ends_at_millis";
    private static final Duration RETRY_DELAY = Duration.ofMillis(700);
    private static final int MAX_ATTEMPTS = 20;

    private final ObjectStore mStore;
    private final InstantSource mTimeOfDay;
    private final DecisionLoop mLoop;
    private final EventLog mLog;

    /** Creates a record that reads and writes the given store. */
    public QuarantineRecord(
            ObjectStore store, InstantSource timeOfDay, DecisionLoop loop, EventLog log) {
        mStore = store;
        mTimeOfDay = timeOfDay;
        mLoop = loop;
        mLog = log;
    }

    /** Reads the parts in force once, with retries until the store answers. */
    void load(Consumer<PromptQuarantine.Entry> onPart) {
        mStore.readRecent(PlatformCollections.PROMPT_QUARANTINES, OBJECT_NAME)
                .publishOn(mLoop.scheduler())
                .subscribe(
                        found -> {
                            found.peek(stored -> entries(stored).values().forEach(onPart));
                            if (found.isLeft() && found.getLeft() != PlatformFailure.NOT_FOUND) {
                                retryLoad(onPart, found.getLeft().name());
                            }
                        },
                        error -> retryLoad(onPart, error.toString()));
    }

    private void retryLoad(Consumer<PromptQuarantine.Entry> onPart, String cause) {
        mLog.log(QuarantineEvent.RECORD_FAILED, field("cause", cause));
        retry(() -> load(onPart));
    }

    /** Adds the parts to those in the store, with retries. */
    void save(List<PromptQuarantine.Entry> added) {
        Map<String, PromptQuarantine.Entry> entries = new LinkedHashMap<>();
        added.forEach(entry -> entries.put(entry.part(), entry));
        change(
                stored -> {
                    if (!stored.keySet().containsAll(entries.keySet())) {
                        stored.putAll(entries);
                    }
                },
                MAX_ATTEMPTS);
    }

    /** Removes the part from those in the store, with retries. */
    void remove(String part) {
        change(stored -> stored.remove(part), MAX_ATTEMPTS);
    }

    private void change(Consumer<Map<String, PromptQuarantine.Entry>> change, int attempts) {
        mStore.read(PlatformCollections.PROMPT_QUARANTINES, OBJECT_NAME)
                .flatMap(found -> write(found, change))
                .publishOn(mLoop.scheduler())
                .subscribe(
                        failure ->
                                failure.ifPresent(
                                        cause -> retryChange(change, attempts, cause.name())),
                        error -> retryChange(change, attempts, error.toString()));
    }

    private void retryChange(
            Consumer<Map<String, PromptQuarantine.Entry>> change, int attempts, String cause) {
        mLog.log(QuarantineEvent.RECORD_FAILED, field("cause", cause));
        if (attempts > 1) {
            retry(() -> change(change, attempts - 1));
        }
    }

    private Mono<Optional<PlatformFailure>> write(
            Either<PlatformFailure, StoredObject> found,
            Consumer<Map<String, PromptQuarantine.Entry>> change) {
        if (found.isLeft() && found.getLeft() != PlatformFailure.NOT_FOUND) {
            return Mono.just(Optional.of(found.getLeft()));
        }
        Map<String, PromptQuarantine.Entry> entries =
                found.map(this::entries).getOrElse(new LinkedHashMap<>());
        Map<String, PromptQuarantine.Entry> before = Map.copyOf(entries);
        change.accept(entries);
        if (entries.equals(before)) {
            return Mono.just(Optional.empty());
        }
        ObjectNode spec = encode(entries);
        Mono<Either<PlatformFailure, StoredObject>> written =
                found.isLeft()
                        ? mStore.create(PlatformCollections.PROMPT_QUARANTINES, OBJECT_NAME, spec)
                        : mStore.update(
                                PlatformCollections.PROMPT_QUARANTINES,
                                OBJECT_NAME,
                                found.get().version(),
                                spec);
        return written.map(
                result -> result.isLeft() ? Optional.of(result.getLeft()) : Optional.empty());
    }

    private ObjectNode encode(Map<String, PromptQuarantine.Entry> entries) {
        ArrayNode parts = JsonNodeFactory.instance.arrayNode();
        entries.values()
                .forEach(
                        entry ->
                                parts.addObject()
                                        .put(PART, entry.part())
                                        .put(
                                                ENDS_AT,
                                                mTimeOfDay.millis()
                                                        + entry.remaining().toMillis()));
        ObjectNode spec = JsonNodeFactory.instance.objectNode();
        spec.set(PARTS, parts);
        return spec;
    }

    /** Returns the stored parts whose quarantine has not ended. */
    private Map<String, PromptQuarantine.Entry> entries(StoredObject stored) {
        Map<String, PromptQuarantine.Entry> entries = new LinkedHashMap<>();
        for (JsonNode node : stored.spec().path(PARTS)) {
            String part = node.path(PART).asText();
            long remaining = node.path(ENDS_AT).asLong() - mTimeOfDay.millis();
            if (!part.isEmpty() && remaining > 0) {
                entries.put(part, new PromptQuarantine.Entry(part, Duration.ofMillis(remaining)));
            }
        }
        return entries;
    }

    private void retry(Runnable task) {
        mLoop.scheduler().schedule(task, RETRY_DELAY.toNanos(), TimeUnit.NANOSECONDS);
    }
}
