package org.vanillaslip.internal.proofs.demo;

import java.util.List;

/**
 * The calls that the demo makes in one deployment.
 *
 * @param lists name of the list file below {@code examples}
 * @param streamRoutes model routes that are called with a streamed answer
 * @param wholeRoutes model routes that are called with a whole answer
 * @param bookingRoutes routes of calls that must not be repeated
 * @param openRoute route that needs no key
 */
record DemoScript(
        String lists,
        String workspace,
        String model,
        List<String> streamRoutes,
        List<String> wholeRoutes,
        List<String> bookingRoutes,
        String openRoute) {

    /** Lists the deployments that the demo runs. */
    static List<DemoScript> all() {
        return List.of(
                new DemoScript(
                        "mostrador.json",
                        "maderas-sol",
                        "edge-quote:oak",
                        List.of("/quotes/quick"),
                        List.of("/quotes/builder", "/summaries"),
                        List.of("/press-slots", "/sheet-cuts"),
                        "/stock"),
                new DemoScript(
                        "hanbit.json",
                        "coast-coaches",
                        "guide-voice:palace",
                        List.of("/narration"),
                        List.of("/recaps", "/photo-tags"),
                        List.of("/deposits", "/seat-holds"),
                        "/meeting-points"));
    }
}
