package org.mountlug.core.admit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Divides a capacity by weighted max-min fairness, using progressive filling. */
final class FairShares {
    private FairShares() {}

    /**
     * Divides a capacity. A key that demands no more than its weighted share receives its demand, and the rest is
     * divided again between the other keys. No share can grow without shrinking another one that is smaller by weight.
     *
     * @param capacity the capacity to divide, in any unit
     * @param demands the demand of each key in the same unit; infinite for as much as there is
     * @param weight the weight of each key, above 0
     */
    static <K> Map<K, Double> divide(double capacity, Map<K, Double> demands, ToDoubleFunction<K> weight) {
        Map<K, Double> shares = new HashMap<>();
        List<K> unsatisfied = new ArrayList<>(demands.keySet());
        double remaining = capacity;
        while (!unsatisfied.isEmpty()) {
            double totalWeight = unsatisfied.stream().mapToDouble(weight).sum();
            double sharePerWeight = Math.max(0, remaining) / totalWeight;
            List<K> satisfied = unsatisfied.stream()
                    .filter(key -> demands.get(key) <= sharePerWeight * weight.applyAsDouble(key))
                    .toList();
            if (satisfied.isEmpty()) {
                unsatisfied.forEach(key -> shares.put(key, sharePerWeight * weight.applyAsDouble(key)));
                return shares;
            }
            for (K key : satisfied) {
                shares.put(key, demands.get(key));
                remaining -= demands.get(key);
            }
            unsatisfied.removeAll(satisfied);
        }
        return shares;
    }
}
