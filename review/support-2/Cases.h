#pragma once

/** \file
 * Cases: the scripts of the review's cases. Each returns the exit status of its script.
 */

namespace review {

int darkCrash();
int foreignEntries();
int silentStore();
int zoneLoss();

} // namespace review
