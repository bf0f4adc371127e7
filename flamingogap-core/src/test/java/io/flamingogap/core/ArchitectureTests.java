package io.flamingogap.core;

import java.io.File;
import java.util.Timer;

import com.tngtech.archunit.core.domain.JavaCall;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.properties.HasName;
import com.tngtech.archunit.core.domain.properties.HasOwner;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.core.importer.Location;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;

/**
 * Architecture rules of the module: its code makes decisions only and uses no network,
 * files, threads or clocks.
 */
@AnalyzeClasses(packages = "io.flamingogap.core", importOptions = ArchitectureTests.WithoutTests.class)
class ArchitectureTests {

	@ArchTest
	void classesUseNoNetwork(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("java.net..", "java.nio.channels..", "com.sun.net..", "org.apache.thrift..")
			.check(classes);
	}

	@ArchTest
	void classesUseNoConcurrencyUtilities(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("java.util.concurrent..")
			.orShould()
			.dependOnClassesThat()
			.areAssignableTo(Thread.class)
			.orShould()
			.dependOnClassesThat()
			.areAssignableTo(Timer.class)
			.check(classes);
	}

	@ArchTest
	void classesUseNoFiles(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("java.nio.file..")
			.orShould()
			.dependOnClassesThat()
			.areAssignableTo(File.class)
			.check(classes);
	}

	@ArchTest
	void classesUseNoSystemTimeOrClock(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.should()
			.callMethod(System.class, "currentTimeMillis")
			.orShould()
			.callMethod(System.class, "nanoTime")
			.orShould()
			.dependOnClassesThat()
			.haveFullyQualifiedName("java.time.Clock")
			.orShould()
			.callMethodWhere(JavaCall.Predicates.target(HasName.Predicates.name("now"))
				.and(JavaCall.Predicates
					.target(HasOwner.Predicates.With.owner(JavaClass.Predicates.resideInAPackage("java.time..")))))
			.check(classes);
	}

	/**
	 * Import option that excludes every {@code test-classes} directory.
	 */
	static final class WithoutTests implements ImportOption {

		@Override
		public boolean includes(Location location) {
			return !location.contains("/test-classes/");
		}

	}

}
