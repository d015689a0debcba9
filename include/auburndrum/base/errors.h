#pragma once

#include <boost/outcome.hpp>

namespace auburndrum {

/// A value or the error of one layer. Reading the missing side is undefined; check `has_value()` first.
template<class T, class E>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, E, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Marks a value as the error side of a Result.
template<class E>
auto failure(E error)
{
    return BOOST_OUTCOME_V2_NAMESPACE::failure(std::move(error));
}

} // namespace auburndrum
