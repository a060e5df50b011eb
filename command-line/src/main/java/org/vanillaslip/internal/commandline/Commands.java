package org.vanillaslip.internal.commandline;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.model.CommandGroupMetadata;
import com.github.rvesse.airline.model.CommandMetadata;
import com.github.rvesse.airline.model.GlobalMetadata;
import java.util.List;

/** Registers the commands of the tool and their groups. */
final class Commands {
    private Commands() {}

    static Cli<OperatorCommand> cli() {
        CliBuilder<OperatorCommand> builder = Cli.builder("vanillaslip");
        builder.withDescription(
                        "Shows and changes the configuration, and drains and restores its items")
                .withCommands(
                        List.of(
                                Check.class,
                                Drain.class,
                                Explain.class,
                                Restore.class,
                                Status.class,
                                Validate.class));
        builder.withGroup("plans")
                .withDescription("Plans that are assigned to workspaces")
                .withCommands(List.of(ListPlans.class, ShowPlan.class, ApplyPlans.class));
        builder.withGroup("workspaces")
                .withDescription("Workspaces and their plans")
                .withCommands(
                        List.of(ListWorkspaces.class, ShowWorkspace.class, ApplyWorkspaces.class));
        builder.withGroup("items")
                .withDescription("Configuration items of any kind")
                .withCommands(List.of(ApplyItems.class));
        builder.withGroup("keys")
                .withDescription("Keys of workspaces")
                .withCommands(List.of(ListKeys.class, AddKey.class, WithdrawKey.class));
        builder.withGroup("quarantine")
                .withDescription("Prompt parts and calls that are kept from backend servers")
                .withCommands(List.of(ListQuarantine.class, ReleaseQuarantine.class));
        return builder.build();
    }

    /**
     * Returns the group and the command that the leading arguments name. Leaves out what they do
     * not name.
     */
    static List<String> commandPath(
            GlobalMetadata<OperatorCommand> metadata, List<String> arguments) {
        if (arguments.isEmpty()) {
            return List.of();
        }
        String first = arguments.get(0);
        for (CommandGroupMetadata group : metadata.getCommandGroups()) {
            if (group.getName().equals(first)) {
                boolean isCommand =
                        arguments.size() > 1
                                && containsCommand(group.getCommands(), arguments.get(1));
                return isCommand ? List.of(first, arguments.get(1)) : List.of(first);
            }
        }
        return containsCommand(metadata.getDefaultGroupCommands(), first)
                ? List.of(first)
                : List.of();
    }

    private static boolean containsCommand(List<CommandMetadata> commands, String name) {
        return commands.stream().anyMatch(isCommand -> isCommand.getName().equals(name));
    }
}
