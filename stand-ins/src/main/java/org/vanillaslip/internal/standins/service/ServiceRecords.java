package org.vanillaslip.internal.standins.service;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Calls that the stand-in received, and executions by booking reference. */
public final class ServiceRecords {

    private final ObjectMapper mMapper = new ObjectMapper();
    private final Map<String, Integer> mExecutions = new ConcurrentHashMap<>();
    private final List<ReceivedCall> mCalls = new CopyOnWriteArrayList<>();

    void recordCall(ReceivedCall call) {
        mCalls.add(call);
    }

    /** Counts an execution for the booking reference in the body and returns the new count. */
    int recordExecution(String body) {
        return mExecutions.merge(bookingReference(body), 1, Integer::sum);
    }

    /** Returns the number of executions by booking reference. */
    public Map<String, Integer> executions() {
        return Map.copyOf(mExecutions);
    }

    /** Returns all received calls in order of arrival. */
    public List<ReceivedCall> calls() {
        return List.copyOf(mCalls);
    }

    private String bookingReference(String body) {
        try {
            return mMapper.readTree(body).path("booking_reference").asText("none");
        } catch (IOException exception) {
            return "none";
        }
    }
}
