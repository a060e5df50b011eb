package org.vanillaslip.internal.queue;

/**
 * A call at its place in the rank.
 *
 * @param level priority of the call, less the levels by which it has risen
 * @param lifted whether the call goes first because its workspace, kind, target or size was served
 *     too rarely
 */
public record RankPosition<T>(T call, int level, boolean lifted) {}
