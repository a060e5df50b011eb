package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.vanillaslip.internal.platform.ConfigurationFinding;

/** The findings of a check as a table. */
final class CheckTable {

    private static final Row HEADER = new Row("finding", "item", "detail");

    private final List<Row> mFaults = new ArrayList<>();
    private final List<Row> mDifferences = new ArrayList<>();

    private record Row(String finding, String item, String detail) {}

    void addFault(String finding, String item, String detail) {
        mFaults.add(new Row(finding, item, detail));
    }

    /** Adds an item that the file changes. */
    void addDifference(ConfigurationChange change, StoredConfiguration inForce) {
        String finding = inForce.item(change.name()).isEmpty() ? "new" : "changed";
        String detail =
                change.readVersion() == 0
                        ? "not in force"
                        : "version " + change.readVersion() + " is in force";
        mDifferences.add(new Row(finding, change.name().objectName(), detail));
    }

    /** Adds a fault or a difference that the check of a deployment's configuration found. */
    void add(ConfigurationFinding finding) {
        Row row = new Row(finding.kind().text(), finding.item(), finding.detail());
        (finding.kind().isFault() ? mFaults : mDifferences).add(row);
    }

    /** Returns the rows and a summary, with an exit code other than 0 if there is a fault. */
    CommandResult toResult() {
        return toResult(ExitCode.INVALID);
    }

    /** Returns the rows and a summary, with the given exit code if there is a fault. */
    CommandResult toResult(ExitCode faultCode) {
        return new CommandResult(lines(), toJson(), mFaults.isEmpty() ? ExitCode.OK : faultCode);
    }

    /** Returns the rows and a summary, of a check that could not be completed. */
    CommandResult toIncompleteResult(String reason) {
        List<String> lines = new ArrayList<>(lines());
        lines.add("Not compared: " + reason);
        return new CommandResult(
                List.copyOf(lines), toJson().put("not_compared", reason), ExitCode.INVALID);
    }

    private List<String> lines() {
        List<Row> rows = new ArrayList<>(mFaults);
        rows.addAll(mDifferences);
        List<String> lines = new ArrayList<>();
        if (!rows.isEmpty()) {
            int findingWidth =
                    rows.stream().mapToInt(row -> row.finding().length()).max().orElse(0);
            int itemWidth = rows.stream().mapToInt(row -> row.item().length()).max().orElse(0);
            String format =
                    "%-"
                            + Math.max(findingWidth, HEADER.finding().length())
                            + "s  %-"
                            + Math.max(itemWidth, HEADER.item().length())
                            + "s  %s";
            lines.add(format(format, HEADER));
            rows.forEach(row -> lines.add(format(format, row)));
        }
        lines.add(mFaults.size() + " faults, " + mDifferences.size() + " differences");
        return List.copyOf(lines);
    }

    private ObjectNode toJson() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        addRows(json.putArray("faults"), mFaults);
        addRows(json.putArray("differences"), mDifferences);
        return json;
    }

    private static void addRows(ArrayNode array, List<Row> rows) {
        rows.forEach(
                row ->
                        array.addObject()
                                .put("finding", row.finding())
                                .put("item", row.item())
                                .put("detail", row.detail()));
    }

    private static String format(String format, Row row) {
        return String.format(Locale.ROOT, format, row.finding(), row.item(), row.detail());
    }
}
