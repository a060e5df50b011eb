package org.vanillaslip.internal.proofs.quota;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;

/** Runs tasks in order of virtual time on the thread that calls {@link #runUntil}. */
final class VirtualScheduler implements Scheduler {

    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::timeNanos).thenComparingLong(Task::sequence));
    private long mNowNanos;
    private long mNextSequence;

    long nowNanos() {
        return mNowNanos;
    }

    void scheduleAt(long nanos, Runnable work) {
        mTasks.add(new Task(nanos, mNextSequence++, work, Disposables.single()));
    }

    /** Runs all tasks due up to the given time and advances the clock to it. */
    void runUntil(long nanos) {
        while (!mTasks.isEmpty() && mTasks.peek().timeNanos() <= nanos) {
            Task task = mTasks.remove();
            mNowNanos = Math.max(mNowNanos, task.timeNanos());
            if (!task.cancelled().isDisposed()) {
                task.work().run();
            }
        }
        mNowNanos = nanos;
    }

    @Override
    public Disposable schedule(Runnable work) {
        return schedule(work, 0, TimeUnit.NANOSECONDS);
    }

    @Override
    public Disposable schedule(Runnable work, long delay, TimeUnit unit) {
        Task task =
                new Task(
                        mNowNanos + unit.toNanos(delay),
                        mNextSequence++,
                        work,
                        Disposables.single());
        mTasks.add(task);
        return task.cancelled();
    }

    @Override
    public Disposable schedulePeriodically(Runnable work, long delay, long period, TimeUnit unit) {
        Disposable cancelled = Disposables.single();
        repeat(work, mNowNanos + unit.toNanos(delay), unit.toNanos(period), cancelled);
        return cancelled;
    }

    @Override
    public Worker createWorker() {
        return new Worker() {
            @Override
            public Disposable schedule(Runnable task) {
                return VirtualScheduler.this.schedule(task);
            }

            @Override
            public void dispose() {}
        };
    }

    private void repeat(Runnable work, long at, long period, Disposable cancelled) {
        Runnable once =
                () -> {
                    work.run();
                    repeat(work, at + period, period, cancelled);
                };
        mTasks.add(new Task(at, mNextSequence++, once, cancelled));
    }

    private record Task(long timeNanos, long sequence, Runnable work, Disposable cancelled) {}
}
