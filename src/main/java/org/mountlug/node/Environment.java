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
 * The environment of a controller: its settings, the services it calls and its clocks. Tests pass fakes.
 *
 * @param workerClients returns the HTTP client for a worker's address, for direct commands
 * @param clockS monotonic time in seconds
 * @param epochMs epoch time in milliseconds
 * @param timer runs an action after a delay in milliseconds, on the one thread of the controller
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
