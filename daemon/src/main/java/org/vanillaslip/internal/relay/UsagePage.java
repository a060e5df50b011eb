package org.vanillaslip.internal.relay;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Optional;
import org.vanillaslip.internal.duty.UsageRecord;
import reactor.core.publisher.Mono;

/** Shows the recorded usage reports, or that of one window, as they are in the store. */
final class UsagePage {

    static final String PATH = "/usage";
    private static final String WINDOW = "window";

    private final Optional<UsageRecord> mRecord;

    /**
     * Creates the page.
     *
     * @param record empty if no usage is reported
     */
    UsagePage(Optional<UsageRecord> record) {
        mRecord = record;
    }

    Mono<TextPageServer.Page> handle(TextPageServer.PageRequest request) {
        if (!request.method().equals("GET")) {
            return Mono.just(new TextPageServer.Page(405, "use GET\n"));
        }
        if (mRecord.isEmpty()) {
            return Mono.just(new TextPageServer.Page(404, "no usage is reported\n"));
        }
        List<String> windows =
                new QueryStringDecoder(request.query(), false)
                        .parameters()
                        .getOrDefault(WINDOW, List.of());
        return mRecord.get()
                .readStored()
                .map(
                        stored ->
                                stored.fold(
                                        failure ->
                                                new TextPageServer.Page(
                                                        503,
                                                        "the store answered " + failure + "\n"),
                                        spec -> page(spec, windows)))
                .onErrorResume(
                        error ->
                                Mono.just(
                                        new TextPageServer.Page(
                                                503, "the store did not answer\n")));
    }

    private static TextPageServer.Page page(JsonNode spec, List<String> windows) {
        if (windows.isEmpty()) {
            return new TextPageServer.Page(200, spec.toString());
        }
        for (JsonNode report : spec.path(UsageRecord.WINDOWS)) {
            if (report.path(WINDOW).asText().equals(windows.get(0))) {
                return new TextPageServer.Page(200, report.toString());
            }
        }
        return new TextPageServer.Page(404, "no report of the window is kept\n");
    }
}
