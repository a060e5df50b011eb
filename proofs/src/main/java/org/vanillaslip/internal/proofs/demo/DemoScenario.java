package org.vanillaslip.internal.proofs.demo;

import java.util.List;

/**
 * The calls that the demo makes in one deployment.
 *
 * @param listsFile name of the list file below {@code examples}
 * @param streamRoutes model routes that are called with a streamed answer
 * @param unstreamedRoutes model routes that are called with a whole answer
 * @param bookingRoutes routes of calls that must not be repeated
 * @param openRoute route that needs no key
 */
record DemoScenario(
        String listsFile,
        String workspace,
        String model,
        List<String> streamRoutes,
        List<String> unstreamedRoutes,
        List<String> bookingRoutes,
        String openRoute) {

    /** Lists the deployments that the demo runs. */
    static List<DemoScenario> all() {
        return List.of(
                new DemoScenario(
                        "mostrador.json",
                        "maderas-sol",
                        "edge-quote:oak",
                        List.of("/quotes/quick"),
                        List.of("/quotes/builder", "/summaries"),
                        List.of("/press-slots", "/sheet-cuts"),
                        "/stock"),
                new DemoScenario(
                        "hanbit.json",
                        "coast-coaches",
                        "guide-voice:palace",
                        List.of("/narration"),
                        List.of("/recaps", "/photo-tags"),
                        List.of("/deposits", "/seat-holds"),
                        "/meeting-points"));
    }
}
