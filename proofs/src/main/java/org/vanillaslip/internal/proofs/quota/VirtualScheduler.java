package org.vanillaslip.internal.proofs.quota;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;

/** Runs tasks in order of virtual time on the thread that advances it. */
final class VirtualScheduler implements Scheduler {

    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::at).thenComparingLong(Task::sequence));
    private long mNow;
    private long mSequence;

    long nowNanos() {
        return mNow;
    }

    void at(long nanos, Runnable work) {
        mTasks.add(new Task(nanos, mSequence++, work, Disposables.single()));
    }

    /** Runs all tasks up to the given time. */
    void runUntil(long nanos) {
        while (!mTasks.isEmpty() && mTasks.peek().at() <= nanos) {
            Task task = mTasks.remove();
            mNow = Math.max(mNow, task.at());
            if (!task.cancelled().isDisposed()) {
                task.work().run();
            }
        }
        mNow = nanos;
    }

    @Override
    public Disposable schedule(Runnable work) {
        return schedule(work, 0, TimeUnit.NANOSECONDS);
    }

    @Override
    public Disposable schedule(Runnable work, long delay, TimeUnit unit) {
        Task task = new Task(mNow + unit.toNanos(delay), mSequence++, work, Disposables.single());
        mTasks.add(task);
        return task.cancelled();
    }

    @Override
    public Disposable schedulePeriodically(Runnable work, long delay, long period, TimeUnit unit) {
        Disposable cancelled = Disposables.single();
        repeat(work, mNow + unit.toNanos(delay), unit.toNanos(period), cancelled);
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
        mTasks.add(new Task(at, mSequence++, once, cancelled));
    }

    private record Task(long at, long sequence, Runnable work, Disposable cancelled) {}
}
