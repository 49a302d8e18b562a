/** Hand-written fakes and test extensions that several modules share. */
package org.turmericspan.testkit;
