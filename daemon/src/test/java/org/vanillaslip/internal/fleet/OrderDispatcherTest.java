package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.messages.DemandReport;
import org.vanillaslip.messages.ModelDemand;

/** Guards against overcommitted servers and unmet demand when orders are late or answers lost. */
class OrderDispatcherTest {

    private final LeaseSimulation mLeases = new LeaseSimulation(1);
    private final LeaseSimulation.TestHost mHost = mLeases.hosts().get(0);
    private EngineSimulation mSimulation = new EngineSimulation(1, mHost.mScheduler);
    private FleetDirectory mDirectory = newDirectory();
    private @Nullable LoadController mController;
    private long mRevision;

    @Test
    void loadsARequestedModel() {
        start(1);
        requestModels("m9");
        run(Duration.ofSeconds(4));

        assertThat(isLoadedOnAnyEngine("m9")).isTrue();
        assertThat(mSimulation.mViolations).isEmpty();
    }

    /** Guards against a load on a server that said that it leaves while it was connected to. */
    @Test
    void anOrderIsNotWrittenToAServerThatHasSaidThatItLeaves() {
        start(1);
        Set<EngineOrder> connecting = new HashSet<>();
        mSimulation.mConnectMillis =
                order -> {
                    connecting.add(order);
                    return 100;
                };
        requestModels("m9");
        for (int step = 0; step < 400 && connecting.isEmpty(); step++) {
            run(Duration.ofMillis(10));
        }
        assertThat(connecting).isNotEmpty();
        mDirectory.members().forEach(FleetMember::recordLeaving);
        run(Duration.ofSeconds(4));

        assertThat(isLoadedOnAnyEngine("m9")).isFalse();
    }

    /** Guards against an engine that is never polled again after one report without a body. */
    @Test
    void anEngineThatSendsAnEmptyReportIsPolledAgain() {
        start(1);
        mSimulation.mSendsEmptyReports = true;
        run(Duration.ofSeconds(2));
        mSimulation.mSendsEmptyReports = false;
        mSimulation.mEngines.values().forEach(EngineSimulation.Engine::restart);
        listEngines();
        run(Duration.ofSeconds(1));
        requestModels("m9");
        run(Duration.ofSeconds(4));

        assertThat(isLoadedOnAnyEngine("m9")).isTrue();
    }

    /** An unanswered order may have been accepted or not; both cases are resolved. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void loadsARequestedModelDespiteLostAnswers(long seed) {
        start(seed);
        mSimulation.mLostAnswerProbability = 0.5;
        requestModels("m9");
        run(Duration.ofSeconds(15));

        assertThat(isLoadedOnAnyEngine("m9")).isTrue();
        assertThat(mSimulation.mViolations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void noServerIsOvercommittedUnderRandomFaults(long seed) {
        Random random = new Random(seed);
        start(seed);
        mSimulation.mLostAnswerProbability = 0.15;
        mSimulation.mLateOrderProbability = 0.15;
        for (int round = 0; round < 40; round++) {
            requestModels("m" + random.nextInt(12), "m" + random.nextInt(12));
            run(Duration.ofMillis(200 + random.nextInt(1500)));
            if (random.nextInt(8) == 0) {
                List<String> names = List.copyOf(mSimulation.mEngines.keySet());
                mSimulation.mEngines.get(names.get(random.nextInt(names.size()))).restart();
                listEngines();
            }
        }
        mSimulation.mLostAnswerProbability = 0;
        mSimulation.mLateOrderProbability = 0;
        run(Duration.ofSeconds(10));
        requestModels("m11");
        run(Duration.ofSeconds(10));

        assertThat(mSimulation.mViolations).isEmpty();
        assertThat(isLoadedOnAnyEngine("m11")).isTrue();
    }

    /**
     * Guards against an order that is executed after a restart of its engine. A restarted engine
     * counts orders from zero, so it reaches the count that the order expects again, while its
     * slots are filled with other models.
     */
    @ParameterizedTest
    @ValueSource(
            longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 274})
    void anOrderDelayedPastARestartDoesNotOvercommitTheServer(long seed) {
        Random random = new Random(seed);
        start(seed);
        mSimulation.mLateOrderProbability = 0.4;
        mSimulation.mMaxLateMillis = 11_500;
        for (int round = 0; round < 60; round++) {
            requestModels(
                    "m" + random.nextInt(12), "m" + random.nextInt(12), "m" + random.nextInt(12));
            run(Duration.ofMillis(200 + random.nextInt(800)));
            if (random.nextInt(4) == 0) {
                List<String> names = List.copyOf(mSimulation.mEngines.keySet());
                mSimulation.mEngines.get(names.get(random.nextInt(names.size()))).restart();
                listEngines();
            }
        }

        assertThat(mSimulation.mViolations).isEmpty();
    }

    /**
     * Guards against callers that are refused with the time at which the model is expected, while
     * the model is not loaded because no caller waits for it any more. This occurs when the demand
     * moves to other models.
     */
    @Test
    void aModelIsLoadedForRefusedCallersByTheForecastTime() {
        start(1);
        mSimulation.mEngines.values().forEach(engine -> engine.mLoading = "m8");
        run(Duration.ofSeconds(2));
        DemandReport shortDeadline =
                DemandReport.newBuilder()
                        .addModels(demandOf("m9").setDeadlineLeftMillis(300))
                        .build();
        Objects.requireNonNull(mController).recordDemand("h", shortDeadline);
        run(Duration.ofMillis(100));
        Objects.requireNonNull(mController).recordDemand("h", DemandReport.getDefaultInstance());
        run(Duration.ofSeconds(1));
        mSimulation.mEngines.values().forEach(engine -> engine.mLoading = "");
        run(Duration.ofSeconds(4));

        assertThat(isLoadedOnAnyEngine("m9")).isTrue();
    }

    /** Guards against engines that are idle until a report shows the end of an unload. */
    @Test
    void aLoadFollowsASlowUnloadBeforeAReportShowsItsEnd() {
        start(1);
        mSimulation.mUnloadTime = Duration.ofMillis(120);
        mSimulation.mEngines.get("c").mLoaded.addAll(Set.of("m6", "m7"));
        run(Duration.ofSeconds(3));
        requestModels("m9");
        run(Duration.ofSeconds(3));

        long unload = mSimulation.mLastAccepted.get(OrderKind.UNLOAD);
        long load = mSimulation.mLastAccepted.get(OrderKind.LOAD);
        assertThat(load - unload).isBetween(120L, 240L);
        assertThat(mSimulation.mViolations).isEmpty();
    }

    /**
     * Guards against a load into the slot of an adapter whose unload was refused, because the
     * unload of a model still waited for running calls.
     */
    @Test
    void anAdapterWhoseUnloadWasRefusedKeepsItsSlot() {
        start(1);
        EngineSimulation.Engine engine = mSimulation.mEngines.get("c");
        engine.mLoaded.addAll(Set.of("m6", "m7"));
        engine.mAdapters.put("m5", new HashSet<>(Set.of("a1", "a2")));
        mSimulation.mEngines.keySet().removeIf(name -> !name.equals("c"));
        listEngines();
        mSimulation.mUnloadTime = Duration.ofMillis(300);
        run(Duration.ofSeconds(3));
        requestModels("m9");
        run(Duration.ofMillis(30));
        Objects.requireNonNull(mController)
                .recordDemand(
                        "h2",
                        DemandReport.newBuilder()
                                .addModels(
                                        demandOf("m5").setAdapter("a3").setObjectiveLeftMillis(400))
                                .build());
        run(Duration.ofSeconds(3));

        assertThat(mSimulation.mViolations).isEmpty();
        assertThat(isLoadedOnAnyEngine("m9")).isTrue();
    }

    /**
     * Guards against a load into an occupied slot. An adapter in use is unloaded only after its
     * calls have ended, although the order to unload it is accepted at once.
     */
    @Test
    void anAdapterInUseKeepsItsSlotUntilItsCallsHaveEnded() {
        start(1);
        EngineSimulation.Engine engine = mSimulation.mEngines.get("c");
        engine.mAdapters.put("m5", new HashSet<>(Set.of("a1", "a2")));
        engine.mAdaptersInUse.addAll(Set.of("a1", "a2"));
        run(Duration.ofSeconds(3));
        requestAdapter("m5", "a3");
        run(Duration.ofSeconds(2));
        assertThat(mSimulation.mViolations).isEmpty();

        engine.endCalls("m5", "a1");
        run(Duration.ofSeconds(3));
        assertThat(mSimulation.mViolations).isEmpty();
        assertThat(engine.mAdapters.get("m5")).contains("a3");
    }

    private void start(long seed) {
        mSimulation = new EngineSimulation(seed, mHost.mScheduler);
        mSimulation.add("a", Set.of("m0", "m1", "m2"));
        mSimulation.add("b", Set.of("m0", "m3", "m4"));
        mSimulation.add("c", Set.of("m5"));
        mDirectory = newDirectory();
        listEngines();
        mController =
                new LoadController(
                        mHost.mName,
                        mHost.mLease,
                        mDirectory,
                        () -> Optional.of(EngineCollections.plan()),
                        mSimulation,
                        4,
                        mSimulation.mLoop,
                        mSimulation::wallClockTime,
                        (event, fields) -> {});
        mController.start();
        run(Duration.ofSeconds(2));
    }

    private void run(Duration time) {
        mLeases.run(time);
    }

    private void requestModels(String... models) {
        DemandReport.Builder report = DemandReport.newBuilder();
        for (String model : models) {
            report.addModels(demandOf(model));
        }
        reportRepeatedly(report.build());
    }

    private void requestAdapter(String model, String adapter) {
        reportRepeatedly(
                DemandReport.newBuilder().addModels(demandOf(model).setAdapter(adapter)).build());
    }

    private static ModelDemand.Builder demandOf(String model) {
        return ModelDemand.newBuilder()
                .setPool("pool")
                .setModel(model)
                .setWaiting(1)
                .setArrivals(1)
                .setObjectiveMillis(3000)
                .setObjectiveLeftMillis(2900)
                .setDeadlineLeftMillis(20_000);
    }

    private void reportRepeatedly(DemandReport demand) {
        LoadController controller = Objects.requireNonNull(mController);
        for (int repeat = 0; repeat < 20; repeat++) {
            mSimulation.mScheduler.schedule(
                    () -> controller.recordDemand("h", demand),
                    repeat * 300L,
                    TimeUnit.MILLISECONDS);
        }
    }

    private boolean isLoadedOnAnyEngine(String model) {
        return mSimulation.mEngines.values().stream()
                .anyMatch(engine -> engine.mLoaded.contains(model));
    }

    private void listEngines() {
        mRevision++;
        List<StoredObject> objects =
                mSimulation.mEngines.keySet().stream()
                        .map(
                                name ->
                                        new StoredObject(
                                                "servers",
                                                name,
                                                mRevision,
                                                JsonNodeFactory.instance.objectNode()))
                        .toList();
        mDirectory.listed(new ObjectList(mRevision, objects));
    }

    private FleetDirectory newDirectory() {
        ServingCollections collections = new EngineCollections(mSimulation);
        return new FleetDirectory(
                collections,
                new DrainFollower(collections, mSimulation.mLoop, (event, fields) -> {}),
                mSimulation.mLoop,
                new StoreAnswerHistory(),
                (event, fields) -> {});
    }
}
