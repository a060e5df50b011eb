package org.vanillaslip.internal.proofs.demo;

import java.util.List;

/**
 * An example deployment and the routes that the demo calls in it.
 *
 * @param listsFile name of the list file in {@code examples}
 * @param streamRoutes model routes that are called with streaming
 * @param unstreamedRoutes model routes that are called without streaming
 * @param bookingRoutes routes of calls that must not run twice
 * @param openRoute route that requires no key
 */
record DemoScenario(
        String listsFile,
        String workspace,
        String model,
        List<String> streamRoutes,
        List<String> unstreamedRoutes,
        List<String> bookingRoutes,
        String openRoute) {

    /** Returns the scenarios of all example deployments. */
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
