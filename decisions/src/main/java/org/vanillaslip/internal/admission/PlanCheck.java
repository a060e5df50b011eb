package org.vanillaslip.internal.admission;

import io.vavr.control.Either;
import org.vanillaslip.Configuration;
import org.vanillaslip.Model;
import org.vanillaslip.ModelName;
import org.vanillaslip.Plan;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.Route;
import org.vanillaslip.Workspace;

/** Authorizes the use of a model by the plan of the workspace. */
public final class PlanCheck {

    private PlanCheck() {}

    /** Returns the model, or a refusal if the caller may not use it on this route. */
    public static Either<Refusal, Model> check(
            Configuration configuration, Route route, Caller caller, ModelName name) {
        Model model = configuration.models().get(name.model());
        if (model == null || !model.pool().equals(route.pool())) {
            return Either.left(Refusal.of(ResultCode.UNKNOWN_MODEL, name.toString()));
        }
        if (caller.workspace().isPresent()
                && !allows(configuration, caller.workspace().get(), name)) {
            return Either.left(Refusal.of(ResultCode.MODEL_NOT_IN_PLAN, name.toString()));
        }
        return Either.right(model);
    }

    private static boolean allows(
            Configuration configuration, Workspace workspace, ModelName name) {
        return configuration.planOf(workspace).map(plan -> includes(plan, name)).orElse(false);
    }

    private static boolean includes(Plan plan, ModelName name) {
        return plan.models().contains(name.model())
                && name.adapter().map(plan.adapters()::contains).orElse(true);
    }
}
