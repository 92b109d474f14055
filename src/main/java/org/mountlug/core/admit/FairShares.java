package org.mountlug.core.admit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Weighted max-min fairness by progressive filling. */
final class FairShares {
    private FairShares() {}

    /**
     * Divides a capacity: whoever asks for no more than its weight's part gets what it asks for, and what that leaves is
     * divided again between the others. Nobody's part can grow without another's shrinking that is smaller by weight.
     *
     * @param capacity what there is to divide, in any unit
     * @param demands what each asks for in the same unit; infinite for as much as there is
     * @param weight the weight of each, above 0
     */
    static <K> Map<K, Double> divide(double capacity, Map<K, Double> demands, ToDoubleFunction<K> weight) {
        Map<K, Double> parts = new HashMap<>();
        List<K> open = new ArrayList<>(demands.keySet());
        double left = capacity;
        while (!open.isEmpty()) {
            double weights = open.stream().mapToDouble(weight).sum();
            double perWeight = Math.max(0, left) / weights;
            List<K> content = open.stream()
                    .filter(key -> demands.get(key) <= perWeight * weight.applyAsDouble(key))
                    .toList();
            if (content.isEmpty()) {
                open.forEach(key -> parts.put(key, perWeight * weight.applyAsDouble(key)));
                return parts;
            }
            for (K key : content) {
                parts.put(key, demands.get(key));
                left -= demands.get(key);
            }
            open.removeAll(content);
        }
        return parts;
    }
}
