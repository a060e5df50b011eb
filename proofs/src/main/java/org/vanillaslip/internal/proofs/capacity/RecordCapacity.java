package org.vanillaslip.internal.proofs.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.vanillaslip.internal.lease.LeaseRecord;
import org.vanillaslip.internal.placement.Placement;
import org.vanillaslip.internal.placement.PlacementStage;
import org.vanillaslip.internal.placement.ShardRecord;

/** Measures the size of a control shard's record, as stored and as sent in a full digest. */
final class RecordCapacity {

    private static final int SERVERS = 32;
    private static final int[] RESIDENTS_PER_SERVER = {10, 50, 100};

    private final ObjectMapper mMapper = new ObjectMapper();
    private final PrintStream mOutput;

    RecordCapacity(PrintStream output) {
        mOutput = output;
    }

    void run() throws JsonProcessingException {
        mOutput.println("| servers | models and adapters per server | KB | heap KB |");
        mOutput.println("|---|---|---|---|");
        for (int residents : RESIDENTS_PER_SERVER) {
            Heap.Retained<ShardRecord> record = Heap.retainedBy(() -> record(residents));
            int bytes = mMapper.writeValueAsBytes(record.value()).length;
            mOutput.printf(
                    "| %d | %d | %.0f | %.0f |%n",
                    SERVERS, residents, bytes / 1e3, record.bytes() / 1e3);
        }
    }

    private static ShardRecord record(int residents) {
        List<Placement> placements = new ArrayList<>();
        for (int server = 0; server < SERVERS; server++) {
            for (int i = 0; i < residents; i++) {
                placements.add(placement(server, i));
            }
        }
        LeaseRecord lease = new LeaseRecord("host-17", 12, "0123456789abcdef", 10_000);
        return new ShardRecord(lease, 100_000, 1, placements, List.of(), Map.of());
    }

    private static Placement placement(int server, int i) {
        return new Placement(
                server * 1000L + i,
                12,
                "engine-" + server,
                "5f0c2f6e-54a1-4a3b-9a4c-2b1f6f3d" + server,
                "model-" + i % 10,
                "1",
                i < 10 ? "" : "adapter-" + i,
                100_000_000L,
                PlacementStage.LOADED);
    }
}
