package org.mountlug.cli;

import java.nio.file.Path;
import java.util.List;
import org.mountlug.node.ControllerServer;
import org.mountlug.settings.ControllerSizing;
import org.mountlug.settings.OperatorSettings;
import org.mountlug.settings.Settings;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.ParseResult;

/**
 * The command line. The commands are declared in code instead of by picocli's annotations, because reading annotations by
 * reflection takes a noticeable part of a controller's start.
 */
public final class Main {
    private static final String VERSION = "mountlug 0.1.0";
    private static final int EXIT_INVALID_INPUT = 2;

    private Main() {}

    /** Runs a command and ends the process with its exit code, unless a controller was started, which keeps running. */
    public static void main(String[] args) {
        int code = run(args);
        if (code >= 0) {
            System.exit(code);
        }
    }

    private static CommandSpec newCommand(String name, String description) {
        CommandSpec command = CommandSpec.create().name(name);
        command.usageMessage().description(description);
        command.addOption(OptionSpec.builder("-h", "--help")
                .usageHelp(true)
                .description("Shows this help.")
                .build());
        return command;
    }

    private static CommandSpec newSettingsCommand(String name, String description) {
        return newCommand(name, description)
                .addOption(OptionSpec.builder("--config")
                        .paramLabel("FILE")
                        .type(Path.class)
                        .required(true)
                        .description("The platform settings, a TOML file.")
                        .build())
                .addOption(OptionSpec.builder("--operators")
                        .paramLabel("FILE")
                        .type(Path.class)
                        .description("The operator settings, a YAML file.")
                        .build());
    }

    private static CommandLine newCommandLine() {
        CommandSpec root = newCommand("mountlug", "A cluster scheduler: controllers that rent machines and run jobs.");
        root.version(VERSION);
        root.addOption(OptionSpec.builder("-V", "--version")
                .versionHelp(true)
                .description("Shows the version.")
                .build());
        root.addSubcommand("serve", newSettingsCommand("serve", "Runs a controller until it is killed."));
        root.addSubcommand(
                "check", newSettingsCommand("check", "Checks the settings; exits with 0 if they are valid, 2 if not."));
        CommandSpec rehearse = newCommand(
                "rehearse", "Runs a controller against fake services at build time, to record the class-data archive.");
        rehearse.usageMessage().hidden(true);
        root.addSubcommand("rehearse", rehearse);
        return new CommandLine(root);
    }

    /** Runs a command; returns its exit code, or -1 if a controller was started, which keeps running. */
    static int run(String[] args) {
        configureLogging(false);
        CommandLine commandLine = newCommandLine();
        ParseResult parsed;
        try {
            parsed = commandLine.parseArgs(args);
        } catch (CommandLine.ParameterException e) {
            System.err.println(e.getMessage());
            e.getCommandLine().usage(System.err);
            return EXIT_INVALID_INPUT;
        }
        if (CommandLine.printHelpIfRequested(parsed)) {
            return 0;
        }
        if (!parsed.hasSubcommand()) {
            commandLine.usage(System.err);
            return EXIT_INVALID_INPUT;
        }
        ParseResult subcommand = parsed.subcommand();
        String name = subcommand.commandSpec().name();
        if (name.equals("rehearse")) {
            return CdsTrainingRun.run();
        }
        Path platformFile = subcommand.matchedOptionValue("--config", (Path) null);
        Path operatorsFile = subcommand.matchedOptionValue("--operators", (Path) null);
        try {
            OperatorSettings operators =
                    operatorsFile == null ? OperatorSettings.defaults() : OperatorSettings.load(operatorsFile);
            Settings settings = Settings.load(platformFile, operators);
            List<String> sizing =
                    ControllerSizing.check(settings, Runtime.getRuntime().maxMemory() / 1048576.0);
            if (name.equals("check")) {
                sizing.forEach(System.out::println);
                operators.effectiveValues().forEach(System.out::println);
                System.out.println("settings of " + settings.label() + " are good");
                return 0;
            }
            configureLogging(operators.logTimestamps());
            new ControllerServer(settings, operators, sizing).start();
            return -1;
        } catch (Settings.InvalidSettingException e) {
            System.err.println(e.getMessage());
            return EXIT_INVALID_INPUT;
        } catch (java.io.IOException | RuntimeException e) {
            System.err.println("cannot start: " + e);
            return 1;
        }
    }

    /**
     * Sends logs to standard error, at the level that the environment variable {@code LOG_LEVEL} gives; libraries log errors
     * only.
     */
    private static void configureLogging(boolean timestamps) {
        String level = System.getenv().getOrDefault("LOG_LEVEL", "info");
        System.setProperty("org.slf4j.simpleLogger.logFile", "System.err");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        System.setProperty("org.slf4j.simpleLogger.showDateTime", Boolean.toString(timestamps));
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
        System.setProperty(
                "org.slf4j.simpleLogger.log.org.mountlug",
                level.equals("debug") ? "debug" : level.equals("error") ? "error" : "info");
        System.setProperty("org.jboss.logging.provider", "slf4j");
    }
}
