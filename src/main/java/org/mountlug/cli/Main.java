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
 * The command line. Built by hand rather than from annotations: reading those by reflection takes a noticeable part of
 * a controller's start.
 */
public final class Main {
    private static final String VERSION = "mountlug 0.1.0";
    private static final int BAD_SETTINGS = 2;

    private Main() {}

    /** Runs the command line; ends the process unless it serves. */
    public static void main(String[] args) {
        int code = run(args);
        if (code >= 0) {
            System.exit(code);
        }
    }

    private static CommandSpec command(String name, String about) {
        CommandSpec s = CommandSpec.create().name(name);
        s.usageMessage().description(about);
        s.addOption(OptionSpec.builder("-h", "--help")
                .usageHelp(true)
                .description("Shows this help.")
                .build());
        return s;
    }

    private static CommandSpec withSettings(String name, String about) {
        return command(name, about)
                .addOption(OptionSpec.builder("--config")
                        .paramLabel("FILE")
                        .type(Path.class)
                        .required(true)
                        .description("The platform's settings, TOML.")
                        .build())
                .addOption(OptionSpec.builder("--operators")
                        .paramLabel("FILE")
                        .type(Path.class)
                        .description("The operators' own settings, YAML.")
                        .build());
    }

    private static CommandLine commandLine() {
        CommandSpec root = command("mountlug", "A cluster scheduler: controllers that rent machines and run jobs.");
        root.version(VERSION);
        root.addOption(OptionSpec.builder("-V", "--version")
                .versionHelp(true)
                .description("Shows the version.")
                .build());
        root.addSubcommand("serve", withSettings("serve", "Runs a controller until it is killed."));
        root.addSubcommand("check", withSettings("check", "Checks settings; exits 0 if they are good, 2 if not."));
        CommandSpec rehearse = command("rehearse", "Runs a controller against nothing for a moment, at build time.");
        rehearse.usageMessage().hidden(true);
        root.addSubcommand("rehearse", rehearse);
        return new CommandLine(root);
    }

    /** Returns the exit code, or -1 while a controller runs. */
    static int run(String[] args) {
        logging(false);
        CommandLine cli = commandLine();
        ParseResult r;
        try {
            r = cli.parseArgs(args);
        } catch (CommandLine.ParameterException e) {
            System.err.println(e.getMessage());
            e.getCommandLine().usage(System.err);
            return BAD_SETTINGS;
        }
        if (CommandLine.printHelpIfRequested(r)) {
            return 0;
        }
        if (!r.hasSubcommand()) {
            cli.usage(System.err);
            return BAD_SETTINGS;
        }
        ParseResult sub = r.subcommand();
        String name = sub.commandSpec().name();
        if (name.equals("rehearse")) {
            return CdsTrainingRun.run();
        }
        Path config = sub.matchedOptionValue("--config", (Path) null);
        Path own = sub.matchedOptionValue("--operators", (Path) null);
        try {
            OperatorSettings operators = own == null ? OperatorSettings.defaults() : OperatorSettings.load(own);
            Settings settings = Settings.load(config, operators);
            List<String> sizes =
                    ControllerSizing.check(settings, Runtime.getRuntime().maxMemory() / 1048576.0);
            if (name.equals("check")) {
                sizes.forEach(System.out::println);
                operators.effectiveValues().forEach(System.out::println);
                System.out.println("settings of " + settings.label() + " are good");
                return 0;
            }
            logging(operators.logTimestamps());
            new ControllerServer(settings, operators, sizes).start();
            return -1;
        } catch (Settings.InvalidSettingException e) {
            System.err.println(e.getMessage());
            return BAD_SETTINGS;
        } catch (java.io.IOException | RuntimeException e) {
            System.err.println("cannot start: " + e);
            return 1;
        }
    }

    /** Logging goes to standard error at the level that LOG_LEVEL gives; libraries speak up only when in trouble. */
    private static void logging(boolean times) {
        String level = System.getenv().getOrDefault("LOG_LEVEL", "info");
        System.setProperty("org.slf4j.simpleLogger.logFile", "System.err");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        System.setProperty("org.slf4j.simpleLogger.showDateTime", Boolean.toString(times));
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
        System.setProperty(
                "org.slf4j.simpleLogger.log.org.mountlug",
                level.equals("debug") ? "debug" : level.equals("error") ? "error" : "info");
        System.setProperty("org.jboss.logging.provider", "slf4j");
    }
}
