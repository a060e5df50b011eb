package org.vanillaslip.internal.backend.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits the bytes of one connection into lines. An unfinished last line is never returned. */
final class LineSplitter {

    private static final int LONGEST_LINE = 1 << 20;

    private final ByteArrayOutputStream mRest = new ByteArrayOutputStream();

    List<String> split(byte[] part) {
        List<String> lines = new ArrayList<>();
        for (byte letter : part) {
            if (letter == '\n') {
                lines.add(mRest.toString(StandardCharsets.UTF_8).stripTrailing());
                mRest.reset();
            } else if (mRest.size() >= LONGEST_LINE) {
                throw new ForwardException(ForwardFailureKind.BROKEN, false, "event too large");
            } else {
                mRest.write(letter);
            }
        }
        return lines;
    }
}
