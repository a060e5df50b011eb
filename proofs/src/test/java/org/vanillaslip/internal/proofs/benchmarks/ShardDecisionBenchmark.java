package org.vanillaslip.internal.proofs.benchmarks;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.vanillaslip.internal.placement.ShardStep;

/** Cost of one decision of a control shard that holds each model once and changes nothing. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class ShardDecisionBenchmark {

    /** Models, each loaded once. */
    @Param({"25", "100", "400"})
    public int models;

    private BenchmarkFixture mFixture = new BenchmarkFixture(1);

    /** Brings the shard to the state in which it holds its lease and its models are loaded. */
    @Setup
    public void setUp() {
        mFixture = new BenchmarkFixture(models);
        int placed = mFixture.mState.record().placements().size();
        if (placed != models || !mFixture.mState.lease().holding()) {
            throw new IllegalStateException("only " + placed + " models are placed");
        }
    }

    /** Decides after a tick. */
    @Benchmark
    public ShardStep decide() {
        return mFixture.mMachine.onTick(mFixture.mState, mFixture.mContext, 2);
    }
}
