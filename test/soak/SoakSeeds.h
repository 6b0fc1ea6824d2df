#pragma once

/** \file
 * SoakSeeds: the seeds that a soak suite runs.
 */

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>
#include <vector>

namespace fescue::test {

/** Whether the environment names no seeds. */
inline bool usesDefaultSeeds() { return !std::getenv("FESCUE_SOAK_SEEDS"); }

/** Returns the seeds that the environment names, otherwise 1 to `defaultLast` and those that have failed. */
inline std::vector<std::uint64_t> readSoakSeeds(
    std::uint64_t defaultLast, const std::vector<std::uint64_t>& regressions)
{
    std::uint64_t first = 1;
    std::uint64_t last = defaultLast;
    const char* text = std::getenv("FESCUE_SOAK_SEEDS");
    if (text && std::sscanf(text, "%lu-%lu", &first, &last) != 2)
        throw std::runtime_error("FESCUE_SOAK_SEEDS must be a first and a last seed, for example 1-50");
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t seed = first; seed <= last; ++seed)
        seeds.push_back(seed);
    if (!text)
        seeds.insert(seeds.end(), regressions.begin(), regressions.end());
    return seeds;
}

} // namespace fescue::test
