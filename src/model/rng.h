// Random numbers: one seed for a run and one named stream for each consumer, so that a new consumer does not
// change the draws of others. pcg64 with Boost.Random's distributions gives the same draws with every
// standard library.
#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <string_view>

#include "model/spec.h"

namespace fernward::model {

using Engine = pcg64;

// `name` identifies what is drawn ("arrivals", "work"), `number` the machine, router or event that
// it is drawn for.
Engine stream(std::uint64_t seed, std::string_view name, std::uint64_t number = 0);

// Draws a value from the distribution; a mean of 0 gives 0.
double draw(const Distribution& distribution, Engine& engine);
double draw_uniform(double from, double to, Engine& engine);
double draw_exponential(double mean, Engine& engine);
// Draws a log-normal factor with mean 1 and standard deviation `cv`.
double draw_factor(double cv, Engine& engine);
bool draw_with_probability(double probability, Engine& engine); // uses no random number for 0 or 1

// A uniformly distributed hash of the arguments.
std::uint64_t hash_numbers(std::uint64_t a, std::uint64_t b, std::uint64_t c = 0);
double unit_interval(std::uint64_t hash); // in [0, 1)

} // namespace fernward::model
