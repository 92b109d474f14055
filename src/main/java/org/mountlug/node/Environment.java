package org.mountlug.node;

import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.mountlug.settings.OperatorSettings;
import org.mountlug.settings.Settings;
import org.mountlug.store.StateClient;
import org.mountlug.wire.HttpTransport;

/**
 * What a controller has round it: its settings, the services it calls and its clocks. Tests put stand-ins here.
 *
 * @param workerClients the way to a worker's address, for direct commands
 * @param clockS steady seconds
 * @param epochMs the time of day, milliseconds
 * @param timer runs something after so many milliseconds, on the thread that everything else of this node runs on
 */
public record Environment(
        Settings settings,
        OperatorSettings operators,
        StateClient state,
        HttpTransport cloud,
        Function<String, HttpTransport> workerClients,
        DoubleSupplier clockS,
        LongSupplier epochMs,
        BiConsumer<Runnable, Integer> timer) {}
