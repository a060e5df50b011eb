package org.vanillaslip.internal.relay;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.ScheduledExecutorService;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/**
 * The single thread of a serving host. Connections, timers and decisions share it, so that a call
 * never changes threads.
 *
 * @param group the event loop as Netty's group
 * @param resources the event loop as Reactor Netty's resources
 */
public record ServingEventLoop(
        EventLoopGroup group, LoopResources resources, DecisionLoop decisions) {

    /** Starts the thread. */
    public static ServingEventLoop create() {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        ScheduledExecutorService executor = group.next();
        return new ServingEventLoop(
                group,
                useNative -> group,
                new DecisionLoop(
                        Schedulers.fromExecutorService(executor, "serving"),
                        Ticker.systemTicker()::nanoTime));
    }
}
